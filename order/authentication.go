package order

import (
	"crypto/subtle"
	"strings"

	"cicadapitch.example/cicadapitch"
)

// Principal is the authenticated sender of an order.
type Principal struct {
	Operator cicadapitch.OperatorID
	// keyHash is the hash of the operator's key, empty for the bootstrap key.
	keyHash string
	// bootstrap is true for the holder of the bootstrap key.
	bootstrap bool
}

// BootstrapOperator is the operator id under which the first configuration is
// applied.
const BootstrapOperator cicadapitch.OperatorID = "bootstrap"

// Authenticate returns the principal whose key is in an Authorization header of the
// form "Bearer <key>". The key is compared with the keys of all operators in
// constant time. It returns a Denied error for all other keys, including those of
// customers, and an Unavailable error if this host has no configuration and no
// bootstrap key.
func (s *Service) Authenticate(authorization string) (Principal, error) {
	key, ok := strings.CutPrefix(authorization, "Bearer ")
	if !ok || key == "" {
		return Principal{}, errDenied("the operator's key is missing")
	}
	hash := cicadapitch.HashKey(key)
	cfg := s.configurations.Current()
	if cfg == nil {
		return s.authenticateBootstrap(hash)
	}
	operator, ok := operatorByKeyHash(cfg, hash)
	if !ok {
		return Principal{}, errDenied("the key is not that of an operator")
	}
	return Principal{Operator: operator, keyHash: hash}, nil
}

// authenticateBootstrap authenticates on a host without a configuration.
func (s *Service) authenticateBootstrap(hash string) (Principal, error) {
	if s.bootstrapHash == "" {
		return Principal{}, cicadapitch.NewError(cicadapitch.Unavailable,
			"this host has no configuration yet and knows no operators", "order through another host, or later")
	}
	if subtle.ConstantTimeCompare([]byte(hash), []byte(s.bootstrapHash)) != 1 {
		return Principal{}, errDenied("this host has no configuration yet, and the key is not the deployment's")
	}
	return Principal{Operator: BootstrapOperator, bootstrap: true}, nil
}

// operatorByKeyHash returns the operator with a key hash and whether there is one.
// It always compares all operators in constant time to prevent timing attacks.
func operatorByKeyHash(cfg *cicadapitch.Configuration, hash string) (cicadapitch.OperatorID, bool) {
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

// authorize returns nil if the principal may change cfg, which can be newer than
// the configuration of this host: an operator must still have the same key, and the
// bootstrap key is valid only while there is no configuration.
func (p Principal) authorize(cfg *cicadapitch.Configuration) error {
	if p.bootstrap {
		if cfg.Revision == 0 {
			return nil
		}
		return cicadapitch.NewError(cicadapitch.Conflict, "there is a configuration already",
			"order with an operator's key once this host has it")
	}
	if id, ok := operatorByKeyHash(cfg, p.keyHash); !ok || id != p.Operator {
		return errDenied("the key is no longer that of an operator")
	}
	return nil
}

// errDenied returns a Denied error that explains how to send a key.
func errDenied(reason string) error {
	return cicadapitch.NewError(cicadapitch.Denied, reason,
		"send an operator's key as Authorization: Bearer <key>")
}
