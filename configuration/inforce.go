package configuration

import "cicadapitch.example/cicadapitch"

// CountInForce counts the ready and leaving hosts that have at least a revision,
// and all of them. Suspect hosts count as not having it.
func CountInForce(members []cicadapitch.Member, r cicadapitch.Revision) (have, all int) {
	for _, m := range members {
		switch m.State {
		case cicadapitch.Ready, cicadapitch.Leaving:
			all++
			if m.Revision >= r {
				have++
			}
		case cicadapitch.Suspect:
			all++
		case cicadapitch.Starting, cicadapitch.Dead:
		}
	}
	return have, all
}
