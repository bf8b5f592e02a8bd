package completion

import "encoding/json"

// toolCall is one call of a tool in a chat answer.
type toolCall struct {
	index    int
	ID       string       `json:"id"`
	Type     string       `json:"type"`
	Function toolFunction `json:"function"`
}

type toolFunction struct {
	Name      string `json:"name"`
	Arguments string `json:"arguments"`
}

type toolCallDelta struct {
	Index    int          `json:"index"`
	ID       string       `json:"id"`
	Type     string       `json:"type"`
	Function toolFunction `json:"function"`
}

// addToolCalls merges deltas by their index: names and ids come once, arguments come in pieces.
func (c *choice) addToolCalls(value json.RawMessage) error {
	var deltas []toolCallDelta
	if err := json.Unmarshal(value, &deltas); err != nil {
		return err
	}
	for _, d := range deltas {
		t := c.tool(d.Index)
		if d.ID != "" {
			t.ID = d.ID
		}
		if d.Type != "" {
			t.Type = d.Type
		}
		t.Function.Name += d.Function.Name
		t.Function.Arguments += d.Function.Arguments
	}
	return nil
}

func (c *choice) tool(index int) *toolCall {
	for _, t := range c.tools {
		if t.index == index {
			return t
		}
	}
	t := &toolCall{index: index, Type: "function"}
	c.tools = append(c.tools, t)
	return t
}
