package questionnaire

import (
	"io"

	"cicadapitch.example/cicadapitch/internal/yamlfile"
)

// Read reads and checks the answers. The error lists every wrong answer with
// file, line, field and remedy; no answers are returned beside an error.
func Read(r io.Reader, file string) (*Answers, error) {
	a := new(Answers)
	f := yamlfile.Read(r, file, a)
	c := newChecker(f, a)
	c.all()
	if err := f.Err(); err != nil {
		return nil, err
	}
	return a, nil
}
