package table

import "maps"

// attribute is an attribute value in the format of the protocol, such as {"S": "text"}. Only the types S and N are
// supported.
type attribute map[string]string

func (a attribute) valid() bool {
	_, isString := a["S"]
	_, isNumber := a["N"]
	return len(a) == 1 && (isString || isNumber)
}

func (a attribute) equal(b attribute) bool { return maps.Equal(a, b) }

type item map[string]attribute

// key validates the item and returns its partition key.
func (i item) key() (string, *apiError) {
	for name, a := range i {
		if !a.valid() {
			return "", validationError("attribute " + name + " must have type S or N")
		}
	}
	key := i["key"]["S"]
	if key == "" || len(key) > 2048 {
		return "", validationError("the partition key \"key\" must be a string of 1 to 2048 bytes")
	}
	return key, nil
}
