// Package form reads YAML files that people fill in. It reports every wrong
// entry at once, each with its file, line, field and remedy, and refuses
// unknown fields, anchors, aliases, tags and files that are too large or
// nested too deeply.
package form
