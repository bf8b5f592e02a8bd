package main

// bytesPerToken is the assumed number of prompt bytes per token.
const bytesPerToken = 4

// class is a prompt length class.
type class struct {
	name   string
	tokens int
}

func (c class) bytes() int { return c.tokens * bytesPerToken }

// classes are the prompt length classes, shortest first.
var classes = [...]class{{"1k", 1_000}, {"10k", 10_000}, {"100k", 100_000}, {"1M", 1_000_000}}
