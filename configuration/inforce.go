package configuration

import "cicadapitch.example/cicadapitch"

// CountInForce returns on how many members revision r or a higher one is in force,
// and how many members are counted in total. Ready, leaving and suspect members are
// counted; a suspect member never counts as in force.
func CountInForce(members []cicadapitch.Member, r cicadapitch.Revision) (inForce, total int) {
	for _, m := range members {
		switch m.State {
		case cicadapitch.Ready, cicadapitch.Leaving:
			total++
			if m.Revision >= r {
				inForce++
			}
		case cicadapitch.Suspect:
			total++
		case cicadapitch.Starting, cicadapitch.Dead:
		}
	}
	return inForce, total
}
