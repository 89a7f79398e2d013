// Package quarantiner identifies requests by their content, so that one which comes
// again under another attempt, or at another entry, is recognized.
//
// # Usage
//
//	key := quarantiner.Fingerprint(organisation, path, string(body))
package quarantiner
