package org.poplarloom.wire.message;

import java.util.List;

import org.poplarloom.core.EndpointId;
import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.InstanceId;
import org.poplarloom.core.process.CrashRegistry;
import org.poplarloom.core.process.HomeSummary;
import org.poplarloom.core.process.Member;
import org.poplarloom.core.process.ShardId;
import org.poplarloom.core.process.ShardStatus;
import org.poplarloom.core.request.Grant;
import org.poplarloom.core.request.GrantRequest;

/**
 * A message between two instances.
 * <p>
 * New fields are added at the end of a record only, so that older instances can ignore
 * them. All implementations are immutable and thread-safe.
 */
public sealed interface Message {

	/**
	 * The first message of a connection, from the side that accepted it.
	 *
	 * @param nonce random bytes in hexadecimal
	 */
	record Challenge(String nonce) implements Message {
	}

	/**
	 * Answers a challenge and poses one.
	 *
	 * @param instance the sender
	 * @param proof the keyed hash of the challenge in hexadecimal
	 * @param nonce random bytes in hexadecimal
	 */
	record Hello(InstanceId instance, String proof, String nonce) implements Message {
	}

	/**
	 * Ends the handshake.
	 *
	 * @param instance the sender
	 * @param proof the keyed hash of the other side's nonce in hexadecimal
	 */
	record Welcome(InstanceId instance, String proof) implements Message {
	}

	/**
	 * Says that a request could not be handled.
	 *
	 * @param code the reason
	 * @param text an explanation
	 */
	record Failure(ErrorCode code, String text) implements Message {
	}

	/**
	 * Tells an instance of the same zone that the sender lives, and how loaded its homes
	 * are.
	 *
	 * @param incarnation when the sender's process started, in milliseconds since the
	 * epoch
	 * @param beat a counter that grows
	 * @param offset the offset of the sender's configuration
	 * @param digest the digest of the sender's configuration
	 * @param loads the shards of which the sender is the home
	 */
	record Heartbeat(long incarnation, long beat, long offset, long digest, List<ShardLoad> loads) implements Message {
	}

	/**
	 * The load of one shard of the sender's zone.
	 *
	 * @param index the shard
	 * @param summary the load
	 */
	record ShardLoad(int index, HomeSummary summary) {
	}

	/**
	 * Spreads membership, shard homes and the configuration's version.
	 *
	 * @param members members of the sender's zone, the sender first
	 * @param shards where homes are and how loaded they are
	 * @param offset the offset of the sender's configuration
	 * @param digest the digest of the sender's configuration
	 * @param orders unconfirmed zone orders as JSON, usually none
	 * @param crashes suspected requests, usually none
	 */
	record Gossip(List<Member> members, List<ShardStatus> shards, long offset, long digest, List<String> orders,
			List<CrashRegistry.Crash> crashes) implements Message {
	}

	/**
	 * Asks for the configuration.
	 *
	 * @param offset the offset that the sender has
	 */
	record ConfigurationFetch(long offset) implements Message {
	}

	/**
	 * Carries a whole configuration.
	 *
	 * @param snapshot the snapshot as JSON
	 */
	record ConfigurationContent(String snapshot) implements Message {
	}

	/**
	 * Asks a home for a grant.
	 *
	 * @param shard the shard
	 * @param request the request
	 * @param traceParent the parent span in header form, empty for none
	 * @param sentMillis the time by the sender's clock, by which all times are given
	 * @param isTrial whether the request is refused rather than queued
	 */
	record GrantAsk(ShardId shard, GrantRequest request, String traceParent, long sentMillis,
			boolean isTrial) implements Message {
	}

	/**
	 * Grants a request.
	 *
	 * @param grant the grant
	 * @param addresses the addresses of the endpoints in the order of the grant's shares
	 * @param bootIds the boots of the endpoints in the same order
	 */
	record GrantGiven(Grant grant, List<String> addresses, List<String> bootIds) implements Message {
	}

	/**
	 * Refuses a request.
	 *
	 * @param code the reason
	 * @param retryAfterMillis when another try may succeed, in milliseconds
	 */
	record GrantDenied(ErrorCode code, long retryAfterMillis) implements Message {
	}

	/**
	 * Reports the first token of a granted request.
	 *
	 * @param shard the shard
	 * @param key the identity of the grant
	 */
	record FirstToken(ShardId shard, String key) implements Message {
	}

	/**
	 * Reports that an endpoint has prefilled its part of a long prompt.
	 *
	 * @param shard the shard
	 * @param key the identity of the grant
	 * @param segment the part, counted from 0
	 */
	record SegmentDone(ShardId shard, String key, int segment) implements Message {
	}

	/**
	 * Ends a grant or withdraws a request.
	 *
	 * @param shard the shard
	 * @param key the identity of the grant
	 * @param failedEndpoint the endpoint whose process failed, or null
	 */
	record Release(ShardId shard, String key, EndpointId failedEndpoint) implements Message {
	}

	/**
	 * Tells a new home all grants that the sender holds in its shard.
	 *
	 * @param shard the shard
	 * @param grants the grants
	 * @param sentMillis the time by the sender's clock, by which all times are given
	 */
	record Announce(ShardId shard, List<Grant> grants, long sentMillis) implements Message {
	}

	/**
	 * Confirms gossip, or that announced grants are in the home's ledger.
	 *
	 * @param isTaken whether the sender took over what it was told
	 */
	record Announced(boolean isTaken) implements Message {
	}

	/**
	 * Asks which configuration is in force.
	 *
	 * @param publicationId a publication to ask about, empty for none
	 */
	record VersionAsk(String publicationId) implements Message {
	}

	/**
	 * Says which configuration is in force at the sender.
	 *
	 * @param offset the offset
	 * @param digest the digest
	 * @param isInForce whether the publication that was asked about is in force
	 * @param grants the number of grants that the sender uses
	 */
	record VersionGiven(long offset, long digest, boolean isInForce, int grants) implements Message {
	}

	/**
	 * Asks for the records of a platform table that the sender could not read itself.
	 *
	 * @param table the name of the table
	 * @param offset the offset after the last record that the sender has
	 */
	record TableFetch(String table, long offset) implements Message {
	}

	/**
	 * Carries records of a platform table.
	 *
	 * @param table the name of the table
	 * @param end the offset after the last record that the sender has read
	 * @param records the newest record of each key that was asked for
	 */
	record TableContent(String table, long end, List<TableRecord> records) implements Message {
	}

	/**
	 * Says that a platform table has new records.
	 *
	 * @param table the name of the table
	 * @param end the offset after the last record that the sender has read
	 */
	record TableNotice(String table, long end) implements Message {
	}

	/**
	 * The newest record of a key.
	 *
	 * @param key the key
	 * @param value the value, empty if the key was removed
	 * @param offset the offset
	 */
	record TableRecord(String key, String value, long offset) {
	}

}
