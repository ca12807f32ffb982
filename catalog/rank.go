package catalog

// RanksPerPriority is the number of route priorities that a customer's priority is divided into, and
// the number of priorities that are told apart.
const RanksPerPriority = 3

// Ranks is the number of ranks of requests.
const Ranks = RanksPerPriority * RanksPerPriority

// Rank returns the rank of a request among all, from 0 for the most urgent to Ranks-1. priority is that of the
// customer, or that of the route if the customer has none. Requests of the same priority are ranked by the
// priority of their routes, since a customer's priority does not say which of his requests are urgent.
func Rank(priority, routePriority int) int {
	clamp := func(p int) int { return min(max(p, 0), RanksPerPriority-1) }
	return RanksPerPriority*clamp(priority) + clamp(routePriority)
}
