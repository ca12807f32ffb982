// Package quarantine keeps requests away from endpoints that their prompts would crash. It
// decides from the crashes and answers that all hosts report which parts of prompts are
// suspects and which are quarantined. It does no I/O.
package quarantine
