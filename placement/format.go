package placement

import "github.com/poplarwinch/poplarwinch/upstream"

// formatModels formats models as MODEL@VERSION and their adapters as MODEL:ADAPTER@VERSION for the log.
func formatModels(models []upstream.LoadedModel) []string {
	list := []string{}
	for _, m := range models {
		list = append(list, string(m.Name)+"@"+m.Version)
		for _, a := range m.Adapters {
			list = append(list, string(m.Name)+":"+string(a.Name)+"@"+a.Version)
		}
	}
	return list
}
