package standin

import (
	"fmt"
	"strings"

	"github.com/zeebo/xxh3"

	"cicadapitch.example/cicadapitch"
)

// DefaultTokens is the completion length of a request without max_tokens.
const DefaultTokens cicadapitch.Tokens = 16

// Token returns token i, counted from 0, of the completion of a prompt. The
// token contains a hash of the prompt, so tokens of different prompts differ.
func Token(prompt string, i int) string {
	return fmt.Sprintf("%08x-%d ", uint32(xxh3.HashString(prompt)), i)
}

// Completion returns the full completion of a prompt in n tokens.
func Completion(prompt string, n cicadapitch.Tokens) string {
	var b strings.Builder
	for i := range int(n) {
		b.WriteString(Token(prompt, i))
	}
	return b.String()
}

// ServiceOutput returns the output of the plain service called name for an
// input.
func ServiceOutput(name, input string) string {
	return fmt.Sprintf("%s(%016x)", name, xxh3.HashString(input))
}
