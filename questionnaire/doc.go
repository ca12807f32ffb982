// Package questionnaire turns a team's answers into a configuration. The
// answers are a YAML file on applications, pipelines, stages, deadlines, which
// requests may never be repeated, pools, endpoints, customers and operators.
// The same answers always give the same configuration.
package questionnaire
