package responsehead

import "fmt"

// ErrFieldName is returned by the read of a response with a field that has no valid name.
type ErrFieldName struct {
	// Byte is the first byte that the name may not hold. In a line without a colon, that is the end of the line.
	Byte byte
}

// Error implements error.
func (e *ErrFieldName) Error() string {
	return fmt.Sprintf("the response has the byte %#02x in the name of a field", e.Byte)
}

// nameBytes are the bytes of a token.
const nameBytes = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"

// isNameByte holds true for each of nameBytes.
var isNameByte = func() (is [256]bool) {
	for _, b := range []byte(nameBytes) {
		is[b] = true
	}
	return is
}()

// encodingName is the name, in small letters, of the field that says whether a body comes in chunks.
const encodingName = "transfer-encoding"

// lowerCase is the bit by which small letters differ from capital ones. The hyphen has it too.
const lowerCase = 0x20

// fieldName is the name at the beginning of the current line of fields.
type fieldName struct {
	// size is the number of bytes of the name so far.
	size int
	// differs is true if these bytes are not the first ones of encodingName.
	differs bool
	// hasReturn is true after a carriage return in place of a name. Only the end of the line may follow.
	hasReturn bool
	// isComplete is true after the colon.
	isComplete bool
}

// add checks further bytes of the line.
func (n *fieldName) add(p []byte) error {
	if n.isComplete {
		return nil
	}
	for _, b := range p {
		switch {
		case n.hasReturn:
			return &ErrFieldName{Byte: '\r'}
		case isNameByte[b]:
			n.differs = n.differs || n.size >= len(encodingName) || b|lowerCase != encodingName[n.size]
			n.size++
		case b == ':' && n.size > 0:
			n.isComplete = true
			return nil
		case b == '\r' && n.size == 0:
			n.hasReturn = true
		default:
			return &ErrFieldName{Byte: b}
		}
	}
	return nil
}

// isEncoding reports whether the complete name is encodingName in any letters.
func (n *fieldName) isEncoding() bool { return !n.differs && n.size == len(encodingName) }
