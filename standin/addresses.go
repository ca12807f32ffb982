package standin

import (
	"strings"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/questionnaire"
)

// ReplaceAddresses returns the YAML text of a questionnaire with the endpoint
// addresses replaced by addresses, in the order of the questionnaire;
// everything else is unchanged. addresses must hold one address for each
// endpoint. ReplaceAddresses returns an error if an address could not be
// replaced, so that no request goes to the real endpoints.
func ReplaceAddresses(text, file string, addresses []string) (string, error) {
	a, err := questionnaire.Read(strings.NewReader(text), file)
	if err != nil {
		return "", err
	}
	var pairs []string
	next := addresses
	for _, old := range endpointAddresses(a) {
		for _, quote := range []string{"'", `"`} {
			pairs = append(pairs, quote+old+quote, quote+next[0]+quote)
		}
		next = next[1:]
	}
	text = strings.NewReplacer(pairs...).Replace(text)
	if a, err = questionnaire.Read(strings.NewReader(text), file); err != nil {
		return "", err
	}
	for i, now := range endpointAddresses(a) {
		if now != addresses[i] {
			return "", cicadapitch.NewError(cicadapitch.Invalid, "the address "+now+" could not be replaced",
				"put each address in quotes and use it once")
		}
	}
	return text, nil
}

// endpointAddresses returns the addresses of all endpoints, pool by pool.
func endpointAddresses(a *questionnaire.Answers) []string {
	var list []string
	for _, p := range a.Pools {
		for _, e := range p.Endpoints {
			list = append(list, e.Address)
		}
	}
	return list
}
