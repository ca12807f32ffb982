// Package administration is a client of the administration API: it gives
// orders and makes queries on any host of a deployment.
package administration
