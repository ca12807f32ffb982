// Package questionnaire generates a configuration from a team's answers. The
// answers are a YAML file that describes applications, pipelines, stages,
// deadlines, which requests may never be repeated, pools, endpoints, customers and
// operators. Equal answers generate equal configurations.
package questionnaire
