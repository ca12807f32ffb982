package order

import (
	"crypto/subtle"
	"strings"

	"cicadapitch.example/cicadapitch"
)

// Principal is who gives an order, as proved by a key.
type Principal struct {
	Operator cicadapitch.OperatorID
	keyHash  string
	// bootstrap is true for the holder of the bootstrap key.
	bootstrap bool
}

// BootstrapOperator is the operator id under which the first configuration is
// applied.
const BootstrapOperator cicadapitch.OperatorID = "bootstrap"

// Authenticate returns the operator whose key the Authorization header brings.
// The key is compared with that of every operator in constant time. A
// customer's key gives no rights here.
func (s *Service) Authenticate(authorization string) (Principal, error) {
	key, ok := strings.CutPrefix(authorization, "Bearer ")
	if !ok || key == "" {
		return Principal{}, denied("the operator's key is missing")
	}
	hash := cicadapitch.HashKey(key)
	cfg := s.configurations.Current()
	if cfg == nil {
		return s.bootstrap(hash)
	}
	found, ok := operatorOf(cfg, hash)
	if !ok {
		return Principal{}, denied("the key is not that of an operator")
	}
	return Principal{Operator: found, keyHash: hash}, nil
}

func (s *Service) bootstrap(hash string) (Principal, error) {
	if s.bootstrapHash == "" {
		return Principal{}, cicadapitch.NewError(cicadapitch.Unavailable,
			"this host has no configuration yet and knows no operators", "order through another host, or later")
	}
	if subtle.ConstantTimeCompare([]byte(hash), []byte(s.bootstrapHash)) != 1 {
		return Principal{}, denied("this host has no configuration yet, and the key is not the deployment's")
	}
	return Principal{Operator: BootstrapOperator, bootstrap: true}, nil
}

// operatorOf looks at every operator, so that the time taken tells nothing.
func operatorOf(cfg *cicadapitch.Configuration, hash string) (cicadapitch.OperatorID, bool) {
	found := -1
	for i, o := range cfg.Operators {
		equal := subtle.ConstantTimeCompare([]byte(hash), []byte(o.KeyHash))
		found = subtle.ConstantTimeSelect(equal, i, found)
	}
	if found < 0 {
		return "", false
	}
	return cfg.Operators[found].ID, true
}

// allowed tells whether the orderer has the right in cfg as well.
func (o Principal) allowed(cfg *cicadapitch.Configuration) error {
	if o.bootstrap {
		if cfg.Revision == 0 {
			return nil
		}
		return cicadapitch.NewError(cicadapitch.Conflict, "there is a configuration already",
			"order with an operator's key once this host has it")
	}
	if id, ok := operatorOf(cfg, o.keyHash); !ok || id != o.Operator {
		return denied("the key is no longer that of an operator")
	}
	return nil
}

func denied(reason string) error {
	return cicadapitch.NewError(cicadapitch.Denied, reason,
		"send an operator's key as Authorization: Bearer <key>")
}
