/**
 * The typed messages that instances exchange and their MessagePack encoding.
 */
package org.poplarloom.wire.message;
