/**
 * What the request path needs of the protocols of callers and endpoints.
 */
package org.poplarloom.port.relay;
