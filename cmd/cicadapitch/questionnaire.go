package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/questionnaire"
)

func newQuestionnaire() command {
	return newGroup("questionnaire", "prints or checks the questionnaire answers of a deployment",
		newQuestionnaireNew(), newQuestionnaireCheck())
}

func newQuestionnaireNew() command {
	return newSubcommand("new", "prints a template of questionnaire answers", func(_ context.Context, w io.Writer) error {
		_, err := io.WriteString(w, questionnaire.Template)
		return cicadapitch.Wrap(err)
	})
}

func newQuestionnaireCheck() command {
	var file string
	c := newSubcommand("check", "checks questionnaire answers and reports all problems", func(_ context.Context, w io.Writer) error {
		cfg, err := generateConfiguration(file)
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "%s: valid; %d zones, %d hosts, %d pools, %d endpoints in %d shards, %d pipelines, %d customers\n",
			file, len(cfg.Zones), len(cfg.Hosts), len(cfg.Pools), len(cfg.Endpoints), len(cfg.Shards()),
			len(cfg.Pipelines), len(cfg.Customers))
		return nil
	})
	c.addPositional(&file, "file", 1, "YAML file with the questionnaire answers")
	return c
}

// generateConfiguration reads a file of questionnaire answers and generates their
// configuration.
func generateConfiguration(file string) (*cicadapitch.Configuration, error) {
	f, err := openFile(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	answers, err := questionnaire.Read(f, file)
	if err != nil {
		return nil, err
	}
	return answers.Configuration()
}

// openFile opens a file for reading. Its errors are Invalid.
func openFile(file string) (*os.File, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, cicadapitch.NewError(cicadapitch.Invalid, err.Error(), "check the path")
	}
	return f, nil
}
