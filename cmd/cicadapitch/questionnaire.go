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
	return newGroup("questionnaire", "starts or checks the answers of a deployment",
		newQuestionnaireNew(), newQuestionnaireCheck())
}

func newQuestionnaireNew() command {
	return newLeaf("new", "prints answers to start from", func(_ context.Context, w io.Writer) error {
		_, err := io.WriteString(w, questionnaire.Template)
		return cicadapitch.Wrap(err)
	})
}

func newQuestionnaireCheck() command {
	var file string
	c := newLeaf("check", "checks answers and reports everything that is wrong", func(_ context.Context, w io.Writer) error {
		cfg, err := readAnswers(file)
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "%s: right; %d zones, %d hosts, %d pools, %d endpoints in %d shards, %d pipelines, %d customers\n",
			file, len(cfg.Zones), len(cfg.Hosts), len(cfg.Pools), len(cfg.Endpoints), len(cfg.Shards()),
			len(cfg.Pipelines), len(cfg.Customers))
		return nil
	})
	c.positional(&file, "file", 1, "YAML file with the answers")
	return c
}

// readAnswers generates the configuration from a file of answers.
func readAnswers(file string) (*cicadapitch.Configuration, error) {
	f, err := open(file)
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

func open(file string) (*os.File, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, cicadapitch.NewError(cicadapitch.Invalid, err.Error(), "check the path")
	}
	return f, nil
}
