package peer

//go:generate go tool -modfile=../tools/go.mod enumer -type=frameKind -output=framekind_enumer.go

// frameKind says what a frame is for.
type frameKind uint8

const (
	// requestFrame starts a call. Number is its timeout in milliseconds, 0
	// for none, and Credit how many bytes of items may be sent at first.
	requestFrame frameKind = iota + 1
	// itemFrame is one item of a stream. Number counts from 0.
	itemFrame
	// responseFrame ends a call with its response.
	responseFrame
	// failureFrame ends a call with an error.
	failureFrame
	// cancelFrame ends the handler's context.
	cancelFrame
	// creditFrame allows Credit more bytes of items.
	creditFrame
	// heartbeatFrame asks for an echo of Number.
	heartbeatFrame
	// echoFrame answers a heartbeat.
	echoFrame
)
