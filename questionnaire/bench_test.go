package questionnaire_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch/configuration"
	"cicadapitch.example/cicadapitch/questionnaire"
)

// answersFor returns answers in YAML with 10 zones, 340 hosts, 5 models, 6 pipelines
// and the given numbers of endpoints and customers.
func answersFor(endpoints, customers int) string {
	var b strings.Builder
	write := func(format string, args ...any) { fmt.Fprintf(&b, format, args...) }
	list := func(name string, n int, line func(i int)) {
		write("%s:\n", name)
		for i := range n {
			line(i)
		}
	}
	write("Deployment: growth\nWeight: 0.5\n")
	list("Zones", 10, func(i int) { write("  - {Name: z%d, Region: r%d}\n", i, i%3) })
	list("Hosts", 340, func(i int) { write("  - Name: entry-%d\n", i) })
	list("Pools", 5, func(p int) {
		write("  - Name: m%d\n    Kind: Engine\n    Model: m%d\n    ColdSlots: 1\n    WarmSlots: 8\n", p, p)
		list("    Endpoints", endpoints/5, func(i int) {
			write("      - {Zone: z%d, Address: 'http://10.%d.%d.%d:8000'}\n", i%10, p, i/250, i%250)
		})
	})
	write("Applications:\n  - Name: app\n")
	list("    Pipelines", 6, func(p int) {
		write("      - Name: p%d\n        DeadlineMillis: 9000\n", p)
		list("        Stages", 5, func(s int) {
			write("          - {Name: s%d, Pool: m%d, NeverRepeat: false, ExpectedMillis: 9, MaxTokens: 9}\n", s, s)
		})
	})
	list("Customers", customers, func(i int) { write("  - {Name: c%d, Share: 1, Key: sample-key-of-c%d-xx}\n", i, i) })
	list("Operators", 1, func(int) { write("  - {Name: o, Key: sample-key-of-operator}\n") })
	return b.String()
}

func BenchmarkReadAndGenerate(b *testing.B) {
	for _, n := range []int{290, 2900} {
		b.Run(fmt.Sprintf("%dEndpoints", n), func(b *testing.B) {
			body := answersFor(n, 250)
			var encoded []byte
			for b.Loop() {
				a, err := questionnaire.Read(strings.NewReader(body), "answers.yaml")
				require.NoError(b, err)
				cfg, err := a.Configuration()
				require.NoError(b, err)
				encoded, err = configuration.Encode(cfg)
				require.NoError(b, err)
			}
			b.ReportMetric(float64(len(body)), "answers-B")
			b.ReportMetric(float64(len(encoded)), "configuration-B")
		})
	}
}
