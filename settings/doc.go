// Package settings reads the daemon's settings from YAML and checks all of them
// before the daemon starts. One error lists every invalid setting with file, line,
// field and remedy.
package settings
