package main

// bytesPerToken is the prompt size that the classes assume.
const bytesPerToken = 4

// class is a class of prompt lengths.
type class struct {
	name   string
	tokens int
}

func (c class) bytes() int { return c.tokens * bytesPerToken }

var classes = [...]class{{"1k", 1_000}, {"10k", 10_000}, {"100k", 100_000}, {"1M", 1_000_000}}
