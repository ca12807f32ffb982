// Package customer divides capacity among customers by their shares when demand
// exceeds it.
//
// Shares apply to work, measured as slot time, and not to the number of
// requests: a customer with long requests gets fewer of them. Other customers
// may use the capacity that a customer leaves idle, and are not charged for it
// later.
package customer
