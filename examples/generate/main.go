// Command generate shows how a program generates a configuration from
// questionnaire answers. It prints the shards that hosts will own.
//
//	go run ./examples/generate examples/questionnaires/cwrt-cymunedol.yaml
package main

import (
	"fmt"
	"os"

	"cicadapitch.example/cicadapitch/questionnaire"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: generate ANSWERS")
		os.Exit(2)
	}
	if err := generate(os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// generate reads a file of questionnaire answers and prints the deployment, its
// weight and its shards.
func generate(file string) error {
	f, err := os.Open(file)
	if err != nil {
		return err
	}
	defer f.Close()
	answers, err := questionnaire.Read(f, file)
	if err != nil {
		return err
	}
	cfg, err := answers.Configuration()
	if err != nil {
		return err
	}
	fmt.Printf("%s: weight %.2f\n", cfg.Deployment, float64(cfg.Weight))
	for _, s := range cfg.Shards() {
		fmt.Printf("shard %s: pool %s, zone %s, %d endpoints\n", s.ID, s.Pool, s.Zone, len(s.Endpoints))
	}
	return nil
}
