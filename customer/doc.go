// Package customer divides a contended capacity among customers.
//
// Shares are measured in work, which is slot time, and not in requests: a
// customer with long requests gets fewer of them. Capacity that a customer
// does not use is lent to the others at no charge.
package customer
