// Package entry owns requests until their answers are given: it places tickets
// at agents, grants each request to one of them, and fetches the answer.
package entry
