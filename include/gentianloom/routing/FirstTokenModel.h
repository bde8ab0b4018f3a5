#ifndef GENTIANLOOM_ROUTING_FIRST_TOKEN_MODEL_H
#define GENTIANLOOM_ROUTING_FIRST_TOKEN_MODEL_H

namespace gentianloom {

/**
 * @brief Predicts the time to the first event from the number of prompt tokens that the engine must
 * process before it.
 *
 * Linear regression (least squares) with exponentially decaying weights of older samples. No clock
 * or I/O.
 */
class FirstTokenModel
{
public:
  /// @brief Adds one sample.
  /// @param aTokens prompt tokens processed before the first event, including those of requests
  /// ahead
  /// @param aMillis observed time to the first event; above 3,000 ms the sample is ignored
  void AddSample(double aTokens, double aMillis);

  /// @brief Predicted time to the first event, in milliseconds.
  double Predict(double aTokens) const;

  /// @brief Predicted time to process prompt tokens, in milliseconds.
  double PrefillTime(double aTokens) const { return Slope() * aTokens; }

private:
  double Slope() const;
  double Base() const;

  double mWeight = 0; ///< total weight of the samples
  double mTokenSum = 0;
  double mMillisSum = 0;
  double mTokensSquaredSum = 0;
  double mTokensTimesMillisSum = 0;
};

} // namespace gentianloom

#endif
