// Package settings reads the settings of the daemon from YAML and checks them
// whole before anything starts. Every wrong setting is reported at once with
// file, line, field and remedy.
package settings
