/**
 * Immutable value types shared by every module: identifiers, error codes, findings.
 */
package org.poplarloom.core;
