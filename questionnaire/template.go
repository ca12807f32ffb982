package questionnaire

import _ "embed"

// Template is answers to start from, with a comment on each field.
//
//go:embed template.yaml
var Template string
