// Package placement chooses the endpoint for a request: model engines by the
// prompt parts they hold and their load, plain services by zone and load, both
// by how the endpoint did lately. Each host decides alone, on its own calls and
// on what other hosts tell of theirs. It performs no I/O.
package placement
