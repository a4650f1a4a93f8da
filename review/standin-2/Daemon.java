package org.poplarloom.review2;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One daemon in a process of its own, with the command of the deploy file and a settings
 * file like that of a small deployment.
 */
final class Daemon {

	static final int CALLER_PORT = 8227;

	private static final Pattern COMMAND = Pattern.compile("(?m)^run = \"(.*)\"$");

	private static final Pattern PEER_KEY = Pattern.compile("POPLARLOOM_PEER_KEY = \"([^\"]*)\"");

	private final String name;

	private final String host;

	private final Path log;

	private final Path settings;

	private Process process;

	Daemon(Path directory, String name, String zone, String host, String storeAddress, String seeds,
			int budgetSlack) throws IOException {
		this.name = name;
		this.host = host;
		this.log = directory.resolve(name + ".log");
		this.settings = directory.resolve(name + ".conf");
		Files.writeString(this.settings, String.join("\n", "node=" + name, "role=poplarloom", "machineClass=edge",
				"serves=edge,control_plane", "ip=" + host, "zone=" + zone, "region=norte-es",
				"listen.front=" + host + ":" + CALLER_PORT, "listen.ready=" + host + ":8220",
				"listen.control=" + host + ":8229", "portRange=7340,7355", "seeds=" + seeds, "firstStart=true",
				"lossCounts=false", "limits.cpuShare=0.51", "limits.cores=1", "limits.memoryMb=352",
				"limits.maxFds=2118", "discovery=platform", "entry=vip", "heartbeatMs=1200",
				"contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform,spans",
				"bounds.contactMs=3000", "bounds.drainMs=2000", "bounds.graceS=8", "bounds.configMs=2000",
				"bounds.retryBudgetRatio=0.2", "bounds.budgetWindowS=10", "bounds.budgetSlack=" + budgetSlack,
				"platform.address=" + storeAddress, "platform.form=log", "platform.writesPerS=400",
				"platform.readsPerS=2000", ""));
	}

	void start() throws IOException {
		String deployFile = Files.readString(Path.of("deploy", "system.toml"));
		ProcessBuilder builder = new ProcessBuilder(group(COMMAND, deployFile).split(" "));
		builder.environment().put("POPLARLOOM_CONFIG", this.settings.toAbsolutePath().toString());
		builder.environment().put("POPLARLOOM_PEER_KEY", group(PEER_KEY, deployFile));
		builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(this.log.toFile()));
		this.process = builder.start();
		Process started = this.process;
		Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
	}

	private static String group(Pattern pattern, String text) throws IOException {
		Matcher matcher = pattern.matcher(text);
		if (!matcher.find()) {
			throw new IOException("deploy/system.toml has nothing that matches " + pattern);
		}
		return matcher.group(1);
	}

	String name() {
		return this.name;
	}

	String callerAddress() {
		return this.host + ":" + CALLER_PORT;
	}

	void removeFiles() throws IOException {
		Files.delete(this.settings);
		Files.delete(this.log);
	}

	/** Ends the process and waits until it has ended. */
	void kill() throws InterruptedException {
		this.process.destroyForcibly();
		this.process.waitFor(5, TimeUnit.SECONDS);
	}

}
