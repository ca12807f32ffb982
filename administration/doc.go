// Package administration is a client of the administration API. It sends orders
// and queries to any host of a deployment.
package administration
