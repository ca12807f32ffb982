package questionnaire

import (
	"io"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/internal/yamlfile"
)

// ReadPipeline reads and checks a single pipeline in the YAML form that the answers
// use. file is the file name for error messages. The error lists every invalid
// field. ReadPipeline does not check whether the pools exist; the order that adds
// the pipeline does.
func ReadPipeline(r io.Reader, file string) (cicadapitch.Pipeline, error) {
	var p Pipeline
	f := yamlfile.Read(r, file, &p)
	c := newChecker(f, new(Answers))
	c.pools = nil
	c.checkPipeline("", p)
	if err := f.Err(); err != nil {
		return cicadapitch.Pipeline{}, err
	}
	return generatePipeline(p), nil
}
