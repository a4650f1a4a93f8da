package org.poplarloom.bench.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntToDoubleFunction;

import org.poplarloom.bench.Report;

/**
 * A cost measured at several sizes and the straight line through the points.
 * <p>
 * The line is fitted by least squares. This class is not thread-safe.
 */
final class Slope {

	private final String name;

	private final String unit;

	private final List<double[]> points = new ArrayList<>();

	private Slope(String name, String unit) {
		this.name = name;
		this.unit = unit;
	}

	static Slope measure(String name, String unit, int[] sizes, IntToDoubleFunction cost) {
		Slope slope = new Slope(name, unit);
		for (int size : sizes) {
			slope.points.add(new double[] { size, cost.applyAsDouble(size) });
		}
		return slope;
	}

	void add(Report report) {
		StringBuilder text = new StringBuilder();
		for (double[] point : this.points) {
			text.append((text.length() > 0) ? " " : "").append((long) point[0]).append(':');
			text.append(String.format(java.util.Locale.ROOT, "%.2f", point[1]));
		}
		report.add(this.name, this.unit, text, perUnit(), intercept(), fit());
	}

	double perUnit() {
		double meanX = mean(0);
		double meanY = mean(1);
		double covariance = 0;
		double variance = 0;
		for (double[] point : this.points) {
			covariance += (point[0] - meanX) * (point[1] - meanY);
			variance += (point[0] - meanX) * (point[0] - meanX);
		}
		return covariance / variance;
	}

	double intercept() {
		return mean(1) - perUnit() * mean(0);
	}

	private double fit() {
		double meanY = mean(1);
		double residual = 0;
		double total = 0;
		for (double[] point : this.points) {
			double predicted = intercept() + perUnit() * point[0];
			residual += (point[1] - predicted) * (point[1] - predicted);
			total += (point[1] - meanY) * (point[1] - meanY);
		}
		return (total > 0) ? 1 - residual / total : 1;
	}

	private double mean(int index) {
		return this.points.stream().mapToDouble((point) -> point[index]).average().orElse(0);
	}

}
