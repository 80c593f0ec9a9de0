package taint

import "slices"

// minGroups is the number of groups of crashes, without a part in common but the suspect,
// from which on the suspect alone is to blame.
const minGroups = 3

// explains reports whether the crashes of a quarantined part speak against a request with
// the given parts, among them the suspect.
//
// The crashes are divided into groups, so that those of a group have other parts in
// common. Of these and the suspect, any may be the one that crashes upstreams, so that a
// request is affected if it has all of them. With minGroups groups, or a crash without any
// other part, only the suspect can be it. innocent reports parts that aren't to blame.
func (s *Suspect) explains(parts []uint64, innocent func(part uint64) bool) bool {
	var companies [][]uint64
	for _, c := range s.Crashes {
		with := slices.DeleteFunc(slices.Clone(c.With), innocent)
		if len(with) == 0 {
			return true
		}
		companies = append(companies, with)
	}
	groups := 0
	for len(companies) > 0 {
		most := commonest(companies)
		var common []uint64
		companies = slices.DeleteFunc(companies, func(with []uint64) bool {
			if !slices.Contains(with, most) {
				return false
			}
			if common == nil {
				common = with
			}
			common = intersect(common, with)
			return true
		})
		if len(intersect(common, parts)) == len(common) {
			return true
		}
		groups++
	}
	return groups >= minGroups
}

// commonest returns the part that is in most of the lists, the lowest of several.
func commonest(lists [][]uint64) uint64 {
	counts := make(map[uint64]int)
	for _, list := range lists {
		for _, p := range list {
			counts[p]++
		}
	}
	var best uint64
	for p, n := range counts {
		if n > counts[best] || n == counts[best] && p < best {
			best = p
		}
	}
	return best
}
