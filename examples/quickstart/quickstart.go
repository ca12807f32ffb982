// Package quickstart holds the questionnaire answers and the settings of a
// small deployment that runs on one machine.
package quickstart

import _ "embed"

// Questionnaire is the content of questionnaire.yaml.
//
//go:embed questionnaire.yaml
var Questionnaire []byte
