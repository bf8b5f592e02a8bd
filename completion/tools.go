package completion

import "encoding/json"

// toolCall is a tool call in a chat response.
type toolCall struct {
	index    int
	ID       string       `json:"id"`
	Type     string       `json:"type"`
	Function toolFunction `json:"function"`
}

// toolFunction is the function of a tool call with its JSON-encoded arguments.
type toolFunction struct {
	Name      string `json:"name"`
	Arguments string `json:"arguments"`
}

// toolCallDelta is the part of a tool call in one chunk.
type toolCallDelta struct {
	Index    int          `json:"index"`
	ID       string       `json:"id"`
	Type     string       `json:"type"`
	Function toolFunction `json:"function"`
}

// addToolCalls merges tool call deltas by index. Ids and types are replaced; names and arguments are concatenated.
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

// tool returns the tool call with the given index, adding it if necessary.
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
