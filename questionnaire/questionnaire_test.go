package questionnaire_test

import (
	"encoding/json"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/internal/yamlfile"
	"cicadapitch.example/cicadapitch/questionnaire"
)

const examplesDir = "../examples/questionnaires/"

func readExample(t testing.TB, file string) string {
	t.Helper()
	b, err := os.ReadFile(examplesDir + file)
	require.NoError(t, err)
	return string(b)
}

// TestExampleAnswersGenerateEqualConfigurations guards against a configuration that
// depends on the order of map iteration.
func TestExampleAnswersGenerateEqualConfigurations(t *testing.T) {
	for file, deployment := range map[string]string{
		"windkanal-verbund.yaml": "Cicadapitch Router Fleet for Tunnel Booking",
		"cwrt-cymunedol.yaml":    "Cwrt Booking Fleet Quarter Review",
	} {
		first := generate(t, readExample(t, file))
		require.Equal(t, string(first), string(generate(t, readExample(t, file))))
		var cfg cicadapitch.Configuration
		require.NoError(t, json.Unmarshal(first, &cfg))
		require.Equal(t, deployment, cfg.Deployment)
		require.Len(t, cfg.Zones, 3)
		require.Len(t, cfg.Customers, 5)
		for _, s := range cfg.Shards() {
			require.LessOrEqual(t, len(s.Endpoints), questionnaire.MaxShardEndpoints)
		}
	}
}

func generate(t testing.TB, body string) []byte {
	t.Helper()
	a, err := questionnaire.Read(strings.NewReader(body), "answers.yaml")
	require.NoError(t, err)
	cfg, err := a.Configuration()
	require.NoError(t, err)
	b, err := json.Marshal(cfg)
	require.NoError(t, err)
	return b
}

// TestReadRejectsInvalidAnswers invalidates one answer at a time and expects a
// problem with the right field, a line and a remedy.
func TestReadRejectsInvalidAnswers(t *testing.T) {
	body := readExample(t, "windkanal-verbund.yaml")
	for _, c := range []struct{ old, replacement, field string }{
		{"Deployment: Cicadapitch", "Deploymint: Cicadapitch", "Deploymint"},
		{"Weight: 0.3", "Weight: 1.3", "Weight"},
		{"Weight: 0.3", "Weight: much", "Weight"},
		{"Weight: 0.3", "Weight: .nan", "Weight"},
		{"  - {Name: b, Region: oberbayern}", "  - {Name: a, Region: oberbayern}", "Zones[1].Name"},
		{"- Name: entry-a1", "- Name: 'Entry A1'", "Hosts[0].Name"},
		{"Kind: Service", "Kind: Sirvice", "Pools[0].Kind"},
		{"ColdSlots: 2", "ColdSlots: 0", "Pools[0].ColdSlots"},
		{"WarmSlots: 16", "WarmSlots: 1", "Pools[0].WarmSlots"},
		{"WarmSlots: 16", "WarmSlots: [16]", "Pools[0].WarmSlots"},
		{"CostPerSlotSecond: 0.2", "CostPerSlotSecond: -1", "Pools[0].CostPerSlotSecond"},
		{"Model: campaign-writer", "Model: ''", "Pools[3].Model"},
		{"http://10.20.1.11:8000", "http://encoder.local:8000", "Pools[0].Endpoints[0].Address"},
		{"http://10.20.1.11:8000", "http://10.20.2.11:8000", "Pools[0].Endpoints[1].Address"},
		{"{Zone: a, Address", "{Zone: d, Address", "Pools[0].Endpoints[0].Zone"},
		{"DeadlineMillis: 9000", "DeadlineMillis: 0", "Applications[0].Pipelines[0].DeadlineMillis"},
		{"DeadlineMillis: 9000", "DeadlineMillis: 3000", "Applications[0].Pipelines[0].Stages"},
		{"Pool: encoder", "Pool: encodr", "Applications[0].Pipelines[0].Stages[0].Pool"},
		{"            NeverRepeat: false\n", "", "Applications[0].Pipelines[0].Stages[0].NeverRepeat"},
		{"MaxTokens: 256", "MaxTokens: 0", "Applications[0].Pipelines[0].Stages[3].MaxTokens"},
		{"- Name: check-form", "- Name: draft-plan", "Applications[0].Pipelines[1].Name"},
		{"Share: 8", "Share: 0", "Customers[0].Share"},
		{"Pipeline: draft-plan", "Pipeline: draft-plans", "Customers[0].Deadlines[0].Pipeline"},
		{"KeyHash: ", "KeyHash: x", "Customers[0].KeyHash"},
		{"KeyHash: ", "Key: short\n    #", "Customers[0].Key"},
	} {
		broken := strings.Replace(body, c.old, c.replacement, 1)
		require.NotEqual(t, body, broken, c.old)
		a, err := questionnaire.Read(strings.NewReader(broken), "answers.yaml")
		require.Nil(t, a)
		var problems yamlfile.Problems
		require.ErrorAs(t, err, &problems)
		require.Contains(t, fieldsOf(problems), c.field, err)
		for _, p := range problems {
			require.NotEmpty(t, p.Remedy)
			require.Positive(t, p.Line)
		}
	}
}

func TestReadReportsAllInvalidAnswersWithLines(t *testing.T) {
	body := "Deployment: x\nWeight: 2\nColour: red\nZones:\n  - {Name: A, Region: r}\n"
	_, err := questionnaire.Read(strings.NewReader(body), "answers.yaml")
	require.ErrorContains(t, err, "answers.yaml:2: Weight: is out of range; give")
	require.ErrorContains(t, err, "answers.yaml:3: Colour: is not a known field; remove it")
	require.ErrorContains(t, err, `answers.yaml:5: Zones[0].Name: "A" is not a name; use`)
	require.ErrorContains(t, err, "answers.yaml:1: Pools: is missing or empty; list")
}

func fieldsOf(problems yamlfile.Problems) []string {
	var names []string
	for _, p := range problems {
		names = append(names, p.Field)
	}
	return names
}

func FuzzRead(f *testing.F) {
	f.Add("Weight: 0.3")
	f.Add(strings.Repeat("[", 2000))
	f.Add(strings.Repeat("- ", 2000))
	f.Add("a: &x [*x, *x]")
	f.Add("Zones: {Name: a}\nHosts: [1, null, {}]\nWeight: .nan")
	f.Add("? [a, b]\n: c")
	f.Add("\t- \x00: |\n  %")
	f.Add("Customers:\n  - Share: 1e999\n    Key: !!binary x")
	f.Add(readExample(f, "cwrt-cymunedol.yaml"))
	f.Fuzz(func(t *testing.T, body string) {
		a, err := questionnaire.Read(strings.NewReader(body), "fuzz.yaml")
		if err != nil {
			require.Nil(t, a)
			return
		}
		_, err = a.Configuration()
		require.NoError(t, err)
	})
}

func TestTemplateIsValid(t *testing.T) {
	generate(t, questionnaire.Template)
}

func TestReadPipeline(t *testing.T) {
	body := "Name: ask\nDeadlineMillis: 500\nStages:\n  - {Name: lookup, Pool: any, NeverRepeat: false, ExpectedMillis: 20}\n"
	p, err := questionnaire.ReadPipeline(strings.NewReader(body), "ask.yaml")
	require.NoError(t, err)
	require.True(t, p.Stages[0].Idempotent)
	_, err = questionnaire.ReadPipeline(strings.NewReader("Name: ask\n"), "ask.yaml")
	require.ErrorContains(t, err, "ask.yaml:1: DeadlineMillis: ")
	require.ErrorContains(t, err, "ask.yaml:1: Stages: is missing")
}
