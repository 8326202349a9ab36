package dev.bluebellshunt.relay.peer;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * What VMs have observed of the speed of an engine, relative to the stated speed of its pool.
 *
 * @param weight the weight of the observations
 * @param sumLogRatio the weighted sum of the natural logarithms of the observed ratios
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record SpeedSample(double weight, double sumLogRatio) {

    /** No observations. */
    public static final SpeedSample NONE = new SpeedSample(0, 0);

    /**
     * Returns the sum of these observations and others.
     *
     * @param other the observations to add
     * @return the sum
     */
    public SpeedSample plus(SpeedSample other) {
        return new SpeedSample(weight + other.weight, sumLogRatio + other.sumLogRatio);
    }
}
