package org.poplarloom.bench.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntToDoubleFunction;

import org.poplarloom.bench.Report;

/**
 * A cost measured at several sizes and the straight line fitted to the points by least
 * squares.
 * <p>
 * This class is not thread-safe.
 */
final class LinearFit {

	private final String name;

	private final String unit;

	private final List<double[]> points = new ArrayList<>();

	private LinearFit(String name, String unit) {
		this.name = name;
		this.unit = unit;
	}

	static LinearFit measure(String name, String unit, int[] sizes, IntToDoubleFunction cost) {
		LinearFit fit = new LinearFit(name, unit);
		for (int size : sizes) {
			fit.points.add(new double[] { size, cost.applyAsDouble(size) });
		}
		return fit;
	}

	void addTo(Report report) {
		StringBuilder pointList = new StringBuilder();
		for (double[] point : this.points) {
			pointList.append((pointList.length() > 0) ? " " : "").append((long) point[0]).append(':');
			pointList.append(String.format(java.util.Locale.ROOT, "%.2f", point[1]));
		}
		report.addRow(this.name, this.unit, pointList, costPerUnit(), fixedCost(), rSquared());
	}

	double costPerUnit() {
		double meanSize = mean(0);
		double meanCost = mean(1);
		double covariance = 0;
		double variance = 0;
		for (double[] point : this.points) {
			covariance += (point[0] - meanSize) * (point[1] - meanCost);
			variance += (point[0] - meanSize) * (point[0] - meanSize);
		}
		return covariance / variance;
	}

	double fixedCost() {
		return mean(1) - costPerUnit() * mean(0);
	}

	private double rSquared() {
		double meanCost = mean(1);
		double residual = 0;
		double total = 0;
		for (double[] point : this.points) {
			double predicted = fixedCost() + costPerUnit() * point[0];
			residual += (point[1] - predicted) * (point[1] - predicted);
			total += (point[1] - meanCost) * (point[1] - meanCost);
		}
		return (total > 0) ? 1 - residual / total : 1;
	}

	private double mean(int coordinate) {
		return this.points.stream().mapToDouble((point) -> point[coordinate]).average().orElse(0);
	}

}
