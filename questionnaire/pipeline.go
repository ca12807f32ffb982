package questionnaire

import (
	"io"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/internal/yamlfile"
)

// ReadPipeline reads and checks a single pipeline, written as in the answers.
// Whether its pools exist is checked when it is ordered.
func ReadPipeline(r io.Reader, file string) (cicadapitch.Pipeline, error) {
	var p Pipeline
	f := yamlfile.Read(r, file, &p)
	c := newChecker(f, new(Answers))
	c.pools = nil
	c.pipeline("", p)
	if err := f.Err(); err != nil {
		return cicadapitch.Pipeline{}, err
	}
	return pipeline(p), nil
}
