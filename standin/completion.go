package standin

import (
	"fmt"
	"strings"

	"github.com/zeebo/xxh3"

	"cicadapitch.example/cicadapitch"
)

// DefaultTokens is the length of a completion whose request names none.
const DefaultTokens cicadapitch.Tokens = 16

// Token returns the i-th token of the completion of a prompt. Tokens of
// different prompts differ.
func Token(prompt string, i int) string {
	return fmt.Sprintf("%08x-%d ", uint32(xxh3.HashString(prompt)), i)
}

// Completion returns the whole completion of a prompt in n tokens.
func Completion(prompt string, n cicadapitch.Tokens) string {
	var b strings.Builder
	for i := range int(n) {
		b.WriteString(Token(prompt, i))
	}
	return b.String()
}

// ServiceOutput returns the answer of a plain service to an input.
func ServiceOutput(name, input string) string {
	return fmt.Sprintf("%s(%016x)", name, xxh3.HashString(input))
}
