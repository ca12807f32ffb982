package questionnaire

import (
	"io"

	"cicadapitch.example/cicadapitch/internal/yamlfile"
)

// Read reads and checks the YAML answers in r. file is the file name for error
// messages. The error lists every invalid answer with file, line, field and remedy;
// in that case the answers are nil.
func Read(r io.Reader, file string) (*Answers, error) {
	a := new(Answers)
	f := yamlfile.Read(r, file, a)
	c := newChecker(f, a)
	c.checkAnswers()
	if err := f.Err(); err != nil {
		return nil, err
	}
	return a, nil
}
