// Package propagation measures how long changes of the operators' configuration take to be
// in force on all hosts of a fleet, and what they cost. The hosts run the code of the real
// ones over loopback connections on links of limited bandwidth.
package propagation
