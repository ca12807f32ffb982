// Package yamlfile decodes and validates YAML files that people write by hand. It
// reports all invalid entries at once, each with its file, line, field and
// remedy. It rejects unknown fields, anchors, aliases, merge keys, tags and files
// that are too large or nested too deeply.
package yamlfile
