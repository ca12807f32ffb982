package questionnaire

import _ "embed"

// Template contains example answers in YAML that explain the fields in comments. It
// passes the checks of Read.
//
//go:embed template.yaml
var Template string
