package table

import "maps"

// attribute is a value in the protocol's form, such as {"S": "text"}. Only the types S and N are supported.
type attribute map[string]string

func (a attribute) valid() bool {
	_, text := a["S"]
	_, number := a["N"]
	return len(a) == 1 && (text || number)
}

func (a attribute) equal(b attribute) bool { return maps.Equal(a, b) }

type item map[string]attribute

// key returns the partition key.
func (i item) key() (string, *apiError) {
	for name, a := range i {
		if !a.valid() {
			return "", validation("attribute " + name + " must have type S or N")
		}
	}
	key := i["key"]["S"]
	if key == "" || len(key) > 2048 {
		return "", validation("the partition key \"key\" must be a string of 1 to 2048 bytes")
	}
	return key, nil
}
