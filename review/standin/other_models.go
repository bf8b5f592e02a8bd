//go:build review

package main

import "fmt"

// modelCount is the number of models in the case other-models.
const modelCount = 8

func init() { cases["other-models"] = playOtherModels }

// playOtherModels checks the rule BUDGET of letter 6 for a part of prompts to several models: it crashes servers whatever else the request holds.
func playOtherModels(w *world, trouble bool) (bool, error) {
	models := make([]string, modelCount)
	for n := range models {
		models[n] = fmt.Sprintf("m%d", n)
	}
	w.models = models
	return w.playPart(trouble, func(int) string { return sharedPart + ":200," + badPart + ":100" })
}
