//go:build review

package main

import "fmt"

// partsBefore is the number of parts before the bad one in the case deep-part.
const partsBefore = 33

func init() { cases["deep-part"] = playDeepPart }

// playDeepPart checks the rule BUDGET of letter 6 for a part that comes after many others, such as those of a long conversation. The others
// differ between the bad prompts, apart from the first.
func playDeepPart(w *world, trouble bool) (bool, error) {
	return w.playPart(trouble, func(n int) string {
		parts := sharedPart + ":200"
		for k := 1; k < partsBefore; k++ {
			parts += fmt.Sprintf(",%04x%04x:50", n+1, k)
		}
		return parts + "," + badPart + ":100"
	})
}
