package standin

import (
	"strings"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/questionnaire"
)

// ReplaceAddresses returns the text of answers with the address of each endpoint
// replaced, in the order of the answers, and everything else as it was. It
// fails where one address would be left, so that no request goes to the real
// endpoints.
func ReplaceAddresses(text, file string, addresses []string) (string, error) {
	a, err := questionnaire.Read(strings.NewReader(text), file)
	if err != nil {
		return "", err
	}
	var pairs []string
	next := addresses
	for _, old := range addressesOf(a) {
		for _, quote := range []string{"'", `"`} {
			pairs = append(pairs, quote+old+quote, quote+next[0]+quote)
		}
		next = next[1:]
	}
	text = strings.NewReplacer(pairs...).Replace(text)
	if a, err = questionnaire.Read(strings.NewReader(text), file); err != nil {
		return "", err
	}
	for i, now := range addressesOf(a) {
		if now != addresses[i] {
			return "", cicadapitch.NewError(cicadapitch.Invalid, "the address "+now+" could not be replaced",
				"put each address in quotes and use it once")
		}
	}
	return text, nil
}

func addressesOf(a *questionnaire.Answers) []string {
	var list []string
	for _, p := range a.Pools {
		for _, e := range p.Endpoints {
			list = append(list, e.Address)
		}
	}
	return list
}
